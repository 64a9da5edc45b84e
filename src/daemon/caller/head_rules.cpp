#include "daemon/caller/head_rules.hpp"

#include "daemon/caller/response_writer.hpp"

#include <algorithm>

namespace cornelpier {

namespace {

constexpr duration unavailable_retry_after = std::chrono::seconds{1};

bool has_destination(const validated_head& head, const plan& current_plan) {
    if (current_plan.routes != nullptr) {
        return current_plan.routes->find(head.host, head.request.path) != nullptr;
    }
    return current_plan.find_service(head.service) != nullptr;
}

} // namespace

std::size_t count_fields(std::string_view head) {
    // The request line and the empty line also end in a line feed.
    constexpr std::size_t other_lines = 2;
    const auto lines = static_cast<std::size_t>(std::ranges::count(head, '\n'));
    return lines - std::min(lines, other_lines);
}

std::size_t parsed_head_bytes(std::size_t head_size, std::size_t fields) {
    // Beast's element and two strings of a field, with the overhead of their allocations.
    constexpr std::size_t bytes_per_field = 160;
    return 2 * head_size + fields * bytes_per_field;
}

std::optional<answer_caller> refuse_from_head(const validated_head& head, const shared_fleet_view& view) {
    if (head.key || head.fate_token) {
        return std::nullopt;
    }
    if (view == nullptr || view->current_plan == nullptr) {
        auto answer = make_refusal(503, "no plan is known yet");
        answer.retry_after = unavailable_retry_after;
        return answer;
    }
    if (!has_destination(head, *view->current_plan)) {
        return make_refusal(404, "no such service or route");
    }
    return std::nullopt;
}

} // namespace cornelpier
