// Signal handling. SIGTERM and SIGINT request a graceful stop, however often they
// come. A SIGINT after another of them, as from an operator at a terminal,
// requests an immediate one. SIGHUP requests a reload of the settings.
//
// Index
//   install_stop_handlers         call once in every program
//   is_stop_requested             whether to finish what was accepted and exit
//   is_immediate_stop_requested   whether to exit at once
//   install_reload_handler        call once in a program that reloads its settings
//   count_reload_signals          reload signals received so far
#pragma once

namespace lagoon {

// ---- install_stop_handlers ----------------------------------------------

void install_stop_handlers();

// ---- is_stop_requested --------------------------------------------------

bool is_stop_requested();

// ---- is_immediate_stop_requested ----------------------------------------

bool is_immediate_stop_requested();

// ---- install_reload_handler ---------------------------------------------

void install_reload_handler();

// ---- count_reload_signals -----------------------------------------------

int count_reload_signals();

}  // namespace lagoon
