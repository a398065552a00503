// Signal handling. SIGTERM and SIGINT request a graceful stop; a second one
// requests an immediate stop. SIGHUP requests a reload of the settings.
//
// Index
//   install_stop_handlers    call once in every program
//   count_stop_signals       stop signals received so far
//   install_reload_handler   call once in a program that reloads its settings
//   count_reload_signals     reload signals received so far
#pragma once

namespace lagoon {

// ---- install_stop_handlers ----------------------------------------------

void install_stop_handlers();

// ---- count_stop_signals -------------------------------------------------

int count_stop_signals();

// ---- install_reload_handler ---------------------------------------------

void install_reload_handler();

// ---- count_reload_signals -----------------------------------------------

int count_reload_signals();

}  // namespace lagoon
