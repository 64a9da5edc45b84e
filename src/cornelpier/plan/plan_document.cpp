#include "cornelpier/plan/plan_document.hpp"

#include "cornelpier/plan/entry_values.hpp"
#include "cornelpier/plan/plan_parser.hpp"
#include "cornelpier/validation/json_validator.hpp"

#include <utility>

namespace cornelpier {

namespace {

finding_kind kind_of(const error& problem, bool is_json) {
    if (!is_json) {
        return finding_kind::malformed;
    }
    return problem.reason.starts_with(unknown_key_reason) ? finding_kind::unknown_key : finding_kind::invalid;
}

plan_document read_sheet(std::string_view text) {
    plan_sheet_reading reading = read_plan_sheet(text, unlimited_errors);
    plan_document result;
    result.lists_targets = true;
    for (auto& it : reading.errors) {
        const auto kind = kind_of(it, reading.is_json);
        result.findings.push_back({kind, std::move(it.place), std::move(it.reason)});
    }
    for (const std::size_t n : reading.service_positions) {
        result.service_places.push_back("/services/" + std::to_string(n));
    }
    for (const auto& service : reading.content.services) {
        result.service_values.push_back(values_of(service));
    }
    result.content = std::move(reading.content);
    return result;
}

} // namespace

plan_document read_document(const plan_format& format, std::string_view text) {
    if (text.size() <= max_plan_bytes) {
        return format.read(text);
    }
    plan_document result;
    result.findings.push_back({finding_kind::too_large, "",
                               "larger than " + std::to_string(max_plan_bytes) + " bytes; not read further"});
    return result;
}

plan_format plan_sheet_format() {
    // Every other format is recognized by its own marks.
    return {"sheet", [](std::string_view) { return true; }, read_sheet};
}

} // namespace cornelpier
