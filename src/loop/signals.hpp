// Signals to stop, of which the first asks for a graceful stop and the second
// for one at once; and the signal to read the settings again.
//
// Index
//   catch_stop_signals    once in a program
//   stop_signals          how many have come
//   catch_reload_signal   once in a program that can read its settings again
//   reload_signals        how many have come
#pragma once

namespace lagoon {

// ---- catch_stop_signals -------------------------------------------------

void catch_stop_signals();

// ---- stop_signals -------------------------------------------------------

int stop_signals();

// ---- catch_reload_signal ------------------------------------------------

void catch_reload_signal();

// ---- reload_signals -----------------------------------------------------

int reload_signals();

}  // namespace lagoon
