// Nested test sections for CppUTest. The fixture of a section derives from the
// fixture of the enclosing section and so inherits its set-up.
//
// Index
//   SECTION   test group with a fixture
//   SAME      checks equality of values that can't be printed
#pragma once

#include "base/failure.hpp"

#include <CppUTest/TestHarness.h>

// ---- SECTION ------------------------------------------------------------

// SECTION(name, base) defines a test group whose fixture derives from `base`;
// outermost fixtures derive from Utest.
#define SECTION(name, base) TEST_GROUP_BASE(name, base)

// ---- SAME ---------------------------------------------------------------

#define SAME(expected, actual) CHECK((expected) == (actual))
