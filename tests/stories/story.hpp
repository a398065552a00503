// Nested sections on CppUTest: a section's fixture derives from that of the
// section around it, so its setting goes on from there.
//
// Index
//   SECTION   a section with its fixture
//   SAME      equality of values that have no text
#pragma once

#include "base/failure.hpp"

#include <CppUTest/TestHarness.h>

// ---- SECTION ------------------------------------------------------------

// SECTION(name, around) opens a fixture that goes on from `around`; the
// outermost goes on from Utest.
#define SECTION(name, around) TEST_GROUP_BASE(name, around)

// ---- SAME ---------------------------------------------------------------

#define SAME(expected, actual) CHECK((expected) == (actual))
