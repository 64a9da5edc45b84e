#pragma once

#include <string_view>

namespace cornelpier {

/// JSON Schema of the plan sheet, the text of `schemas/plan.schema.json`. A test compares both.
std::string_view plan_schema();

} // namespace cornelpier
