#include "cornelpier/admission/admission_queue.hpp"

#include <catch2/catch.hpp>

namespace cornelpier {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start{seconds{100}};

admission_queue make_queue() {
    admission_queue queue;
    queue.set_capacity(10);
    return queue;
}

std::optional<run_id> take(admission_queue& queue, time_point now) {
    const auto next = queue.next(now);
    if (next) {
        queue.remove(*next);
    }
    return next;
}

} // namespace

TEST_CASE("within a class the run with the earliest latest start goes first", "[admission]") {
    auto queue = make_queue();
    queue.offer(run_id{1}, request_class::order, start + milliseconds{300}, start + milliseconds{300});
    queue.offer(run_id{2}, request_class::order, start + milliseconds{100}, start + milliseconds{100});
    queue.offer(run_id{3}, request_class::order, start + milliseconds{100}, start + milliseconds{100});
    CHECK(queue.ahead_of(request_class::order, start + milliseconds{200}) == 2);
    CHECK(take(queue, start) == run_id{2});
    CHECK(take(queue, start) == run_id{3});
    CHECK(take(queue, start) == run_id{1});
    CHECK(take(queue, start) == std::nullopt);
}

TEST_CASE("late runs start after runs that are on time, regardless of class", "[admission]") {
    auto queue = make_queue();
    queue.offer(run_id{1}, request_class::order, start + milliseconds{100}, start + milliseconds{100});
    queue.offer(run_id{2}, request_class::patient_lookup, start + milliseconds{300},
                start + milliseconds{300});
    const time_point now = start + milliseconds{200};
    CHECK(take(queue, now) == run_id{2});
    CHECK(take(queue, now) == run_id{1});
}

TEST_CASE("a run may keep its position after its objective has passed", "[admission]") {
    auto queue = make_queue();
    queue.offer(run_id{1}, request_class::order, start + milliseconds{100}, start + milliseconds{400});
    queue.offer(run_id{2}, request_class::order, start + milliseconds{300}, start + milliseconds{300});
    CHECK(take(queue, start + milliseconds{200}) == run_id{1});
}

TEST_CASE("runs without an objective start in order of arrival", "[admission]") {
    auto queue = make_queue();
    queue.offer(run_id{1}, request_class::order);
    queue.offer(run_id{2}, request_class::order);
    CHECK(queue.ahead_of(request_class::order) == 2);
    CHECK(take(queue, start) == run_id{1});
    CHECK(take(queue, start) == run_id{2});
}

} // namespace cornelpier
