// Signals to stop, of which the first asks for a graceful stop and the second
// for one at once; and the signal to read the settings again.
//
// Index
//   install_stop_handlers    once in a program
//   stop_signals          how many have come
//   install_reload_handler   once in a program that can read its settings again
//   reload_signals        how many have come
#pragma once

namespace lagoon {

// ---- install_stop_handlers ----------------------------------------------

void install_stop_handlers();

// ---- stop_signals -------------------------------------------------------

int count_stop_signals();

// ---- install_reload_handler ---------------------------------------------

void install_reload_handler();

// ---- reload_signals -----------------------------------------------------

int count_reload_signals();

}  // namespace lagoon
