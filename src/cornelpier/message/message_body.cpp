#include "cornelpier/message/message_body.hpp"

#include <utility>

namespace cornelpier {

namespace {

/// @return the body of the message, or nullptr if its type has none.
shared_body* find_body(node_message& message) {
    auto* traffic = std::get_if<traffic_message>(&message);
    if (traffic == nullptr) {
        return nullptr;
    }
    if (auto* run = std::get_if<run_request>(traffic)) {
        return &run->request.body;
    }
    auto* response = std::get_if<run_response>(traffic);
    return response != nullptr && response->response ? &response->response->body : nullptr;
}

} // namespace

shared_body detach_body(node_message& message, std::size_t min_size) {
    shared_body* body = find_body(message);
    if (body == nullptr || *body == nullptr || (*body)->size() < min_size) {
        return nullptr;
    }
    return std::exchange(*body, make_body());
}

bool attach_body(node_message& message, std::string body) {
    shared_body* place = find_body(message);
    if (place == nullptr || !(*place)->empty()) {
        return false;
    }
    *place = make_body(std::move(body));
    return true;
}

std::optional<attempt_id> attempt_of(const node_message& message) {
    const auto* traffic = std::get_if<traffic_message>(&message);
    if (traffic == nullptr) {
        return std::nullopt;
    }
    return std::visit(
        [](const auto& it) -> std::optional<attempt_id> {
            if constexpr (requires { it.attempt; }) {
                return it.attempt;
            } else {
                return std::nullopt;
            }
        },
        *traffic);
}

} // namespace cornelpier
