// Signals to stop: the first asks for a graceful stop, the second for one at
// once.
//
// Index
//   catch_stop_signals   once in a program
//   stop_signals         how many have come
#pragma once

namespace lagoon {

// ---- catch_stop_signals -------------------------------------------------

void catch_stop_signals();

// ---- stop_signals -------------------------------------------------------

int stop_signals();

}  // namespace lagoon
