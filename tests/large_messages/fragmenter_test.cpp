#include "daemon/link/fragment_assembler.hpp"
#include "daemon/link/message_fragmenter.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <vector>

namespace cornelpier {

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t budget_bytes = 64 * kib * kib;

outgoing_message large(char head, std::size_t body_size, std::optional<attempt_id> attempt = std::nullopt) {
    std::string body(body_size, 'b');
    for (std::size_t n = 0; n < body.size(); ++n) {
        body[n] = static_cast<char>(n / 251 + n);
    }
    return {std::string(100, head), make_body(std::move(body)), attempt};
}

attempt_id attempt(std::uint64_t sequence) {
    return {{incarnation{1}, sequence}, 1};
}

std::vector<std::string> all_fragments(message_fragmenter& queue) {
    std::vector<std::string> result;
    while (auto frame = queue.next_fragment()) {
        result.push_back(*frame);
    }
    return result;
}

/// Receives frames; an error fails the test.
class receiver {
  public:
    receiver() : m_assembler(std::make_shared<assembly_budget>(budget_bytes)) {}

    std::optional<assembled_message> add(const std::string& frame) {
        auto outcome = m_assembler.add(frame, {});
        REQUIRE_FALSE(std::holds_alternative<assembly_error>(outcome));
        auto* message = std::get_if<assembled_message>(&outcome);
        return message == nullptr ? std::nullopt : std::optional{std::move(*message)};
    }

    [[nodiscard]] std::size_t open_messages() const { return m_assembler.open_messages(); }

  private:
    fragment_assembler m_assembler;
};

} // namespace

// Fragments of small messages would cost frames and delay them behind large ones.
TEST_CASE("a message of at most 32 KiB is sent in one frame", "[large-messages]") {
    message_fragmenter queue;
    queue.push({std::string(32 * kib, '\x84'), nullptr, std::nullopt});
    CHECK_FALSE(queue.has_fragments());
    CHECK(queue.queued_bytes() == 32 * kib);
    CHECK(queue.next_small_frame()->size() == 32 * kib);
    CHECK_FALSE(queue.next_small_frame());
    CHECK(queue.queued_bytes() == 0);
}

TEST_CASE("a larger message arrives complete in fragments of at most 16 KiB", "[large-messages]") {
    message_fragmenter queue;
    const auto size = GENERATE(std::size_t{0}, 32 * kib, 540 * kib, 3 * 16 * kib - 100);
    auto sent = large('h', size);
    if (size == 0) {
        sent = {std::string(32 * kib + 1, 'h'), nullptr, std::nullopt};
    }
    queue.push(sent);
    CHECK(queue.queued_bytes() == sent.size());

    receiver peer;
    std::optional<assembled_message> message;
    for (const auto& it : all_fragments(queue)) {
        REQUIRE_FALSE(message);
        CHECK(it.size() <= max_fragment_bytes + fragment_header_bytes);
        message = peer.add(it);
    }
    REQUIRE(message);
    CHECK(message->head == sent.head);
    CHECK(message->body == (sent.body ? *sent.body : ""));
    CHECK(queue.queued_bytes() == 0);
}

// A copy of each queued body would fill a VM of 160 MB with two bodies of 64 MiB.
TEST_CASE("a queued body is shared, not copied", "[large-messages]") {
    message_fragmenter queue;
    auto message = large('h', 540 * kib);
    const auto body = message.body;
    queue.push(std::move(message));
    queue.next_fragment();
    CHECK(body.use_count() == 2);
    all_fragments(queue);
    CHECK(body.use_count() == 1);
}

// A message behind a body of 64 MiB would otherwise wait for a minute at 10 Mbit/s.
TEST_CASE("fragments of large messages alternate, and small messages overtake them", "[large-messages]") {
    message_fragmenter queue;
    queue.push(large('a', 640 * kib));
    queue.next_fragment();
    queue.push(large('b', 64 * kib));
    queue.push({"small", nullptr, attempt(9)});
    CHECK(queue.next_small_frame() == "small");

    receiver peer;
    std::vector<char> order;
    for (const auto& it : all_fragments(queue)) {
        if (parse_header(it)->message == 1 && order.empty() && parse_header(it)->offset == 16 * kib) {
            continue; // Its first fragment was taken above.
        }
        order.push_back(parse_header(it)->message == 1 ? 'a' : 'b');
    }
    // The smaller one is complete after as many fragments of the larger one.
    CHECK(std::count(order.begin(), order.begin() + 10, 'b') == 5);
    CHECK(std::count(order.begin(), order.end(), 'b') == 5);
}

// The entry would take a fate reply for the answer and lose the response that was sent before it.
TEST_CASE("messages of one attempt keep their order", "[large-messages]") {
    message_fragmenter queue;
    queue.push(large('a', 64 * kib, attempt(1)));
    queue.push({"reply", nullptr, attempt(1)});
    queue.push({"other", nullptr, attempt(2)});
    CHECK(queue.next_small_frame() == "other");
    CHECK_FALSE(queue.next_small_frame());
    all_fragments(queue);
    CHECK(queue.next_small_frame() == "reply");
    CHECK(queue.queued_bytes() == 0);
}

// The owner would run a cancelled request that arrives after its cancellation, and the link would carry it.
TEST_CASE("the request of a cancelled attempt is not sent on", "[large-messages]") {
    message_fragmenter queue;
    receiver peer;
    queue.push(large('a', 640 * kib, attempt(1)));
    const bool started = GENERATE(false, true);
    if (started) {
        CHECK_FALSE(peer.add(*queue.next_fragment()));
    }
    queue.push({"query", nullptr, attempt(1)});
    queue.abort(attempt(1));
    CHECK_FALSE(queue.has_fragments());
    if (started) {
        CHECK_FALSE(peer.add(*queue.next_small_frame()));
    }
    CHECK(queue.next_small_frame() == "query");
    CHECK(peer.open_messages() == 0);
    CHECK(queue.queued_bytes() == 0);
}

// The peer closes a link with more incomplete messages than it allows.
TEST_CASE("a sender opens no more messages than the receiver allows", "[large-messages]") {
    message_fragmenter queue;
    constexpr std::size_t count = 3 * max_open_messages;
    for (std::size_t n = 0; n < count; ++n) {
        queue.push(large('a', 40 * kib, attempt(n)));
    }
    queue.abort(attempt(count - 1));
    receiver peer;
    std::size_t complete = 0;
    for (const auto& it : all_fragments(queue)) {
        complete += peer.add(it) ? 1 : 0;
        REQUIRE(peer.open_messages() <= max_open_messages);
    }
    CHECK(complete == count - 1);
    CHECK(queue.queued_bytes() == 0);
}

} // namespace cornelpier
