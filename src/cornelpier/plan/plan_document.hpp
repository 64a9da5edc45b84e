#pragma once

#include "cornelpier/plan/plan.hpp"
#include "cornelpier/plan/plan_finding.hpp"
#include "cornelpier/plan/value_list.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelpier {

/// A plan as read from a document of any format, for checks that name places in it.
struct plan_document {
    plan content;                            ///< Without the parts that are invalid.
    std::vector<std::string> service_places; ///< Of the services of `content`, in the same order.
    std::vector<value_list> service_values;  ///< What the document says of them, in the same order.

    /// Whether routes select the services. Otherwise the first label of Host does, and rules classify
    /// requests.
    bool is_routed = false;
    std::vector<route> routes;             ///< In the order of the document, without the invalid ones.
    std::vector<std::string> route_places; ///< Of the routes, in the same order.

    /// Whether the document lists the targets. Otherwise they are known to the nodes only.
    bool lists_targets = false;

    std::vector<plan_finding> findings; ///< Of the decoder.

    /// @return whether invalid parts were left out.
    [[nodiscard]] bool is_partial() const { return count(findings, finding_severity::error) > 0; }
};

/// Format of a plan document.
struct plan_format {
    std::string name;
    std::function<bool(std::string_view)> recognizes;    ///< Whether a text looks like this format.
    std::function<plan_document(std::string_view)> read; ///< Reads untrusted text.
};

/// Reads a document of at most `max_plan_bytes`; a larger one becomes a finding.
/// @param text untrusted.
plan_document read_document(const plan_format& format, std::string_view text);

/// @return the format of the product's own plan sheet.
plan_format plan_sheet_format();

} // namespace cornelpier
