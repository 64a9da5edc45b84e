#pragma once

#include <string_view>

namespace cornelpier {

/// JSON Schema of the plan sheet. A test keeps it identical to `schemas/plan.schema.json`.
std::string_view plan_schema();

} // namespace cornelpier
