#include "tests/soak/soak_server.hpp"

#include <charconv>

namespace cornelpier::soak {

namespace {

constexpr int slots = 4;

/// Service time of a request. Much shorter than the objective, so that failures come from faults, not from
/// load.
constexpr double min_work_ms = 10;
constexpr double max_work_ms = 60;

/// Time for which a deadly request runs until the server ends.
constexpr int min_crash_delay_ms = 10;
constexpr int max_crash_delay_ms = 60;

/// Time after the first naming of a rate from which it has to hold, and the period over which arrivals count.
constexpr std::chrono::seconds limit_reaction_time{3};
constexpr std::chrono::seconds limit_window{4};
constexpr double limit_tolerance = 1.5;
constexpr double limit_extra = 5;

std::chrono::milliseconds deadline_of(const standins::http_request_message& request) {
    const auto text = request["X-Deadline-Ms"];
    long value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return std::chrono::milliseconds{value};
}

} // namespace

soak_server::soak_server(boost::asio::io_context& context, const std::string& address,
                         invariant_checker& checker, std::uint32_t seed)
    : m_context(context), m_checker(checker), m_random(seed),
      m_service(context, address, [this](const auto& it) { on_request(it); }) {}

std::string soak_server::load() const {
    return std::to_string(m_running) + ",0," + std::to_string(slots) + ',' +
           std::to_string(static_cast<int>(100 * slowness));
}

void soak_server::on_request(const exchange_ptr& it) {
    it->response_fields = {{"X-Instance-Id", instance}, {"X-Server-Load", load()}};
    const auto& request = it->request();
    if (m_rate_limit) {
        it->response_fields.emplace_back("Server-Limit", std::to_string(*m_rate_limit));
    }
    if (request.target() == "/health") {
        it->respond(m_drain_started_at ? 503 : 200, "");
        return;
    }
    it->response_fields.emplace_back("X-Attempt-Id", std::string{request["X-Attempt-Id"]});
    check_rate_limit(std::string{request["X-Attempt-Id"]});
    if (request["X-Expected-Instance"] != instance) {
        refuse(it, 421);
    } else if (m_running >= slots) {
        refuse(it, 503);
    } else {
        run(it);
    }
}

void soak_server::start_drain(std::chrono::steady_clock::time_point now, std::chrono::milliseconds limit) {
    m_drain_started_at = now;
    m_drain_limit = limit;
}

void soak_server::restart_as(const std::string& name) {
    instance = name;
    set_rate_limit(std::nullopt);
    m_drain_started_at.reset();
}

void soak_server::set_rate_limit(std::optional<double> requests_per_second) {
    m_rate_limit = requests_per_second;
    m_limit_named_at = std::chrono::steady_clock::now();
    m_arrivals.clear();
}

void soak_server::check_rate_limit(const std::string& id) {
    const auto now = std::chrono::steady_clock::now();
    if (!m_rate_limit || now < m_limit_named_at + limit_reaction_time) {
        return;
    }
    m_arrivals.push_back(now);
    while (m_arrivals.front() < now - limit_window) {
        m_arrivals.pop_front();
    }
    const double allowed =
        limit_tolerance * *m_rate_limit * static_cast<double>(limit_window.count()) + limit_extra;
    if (static_cast<double>(m_arrivals.size()) > allowed) {
        m_checker.add_violation("limit", id,
                                std::to_string(m_arrivals.size()) + " requests in 4 s at " + instance);
    }
}

void soak_server::check_drain(const std::string& id) {
    if (!m_drain_started_at) {
        return;
    }
    const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - *m_drain_started_at);
    if (after > m_drain_limit && fault_free_since(*m_drain_started_at)) {
        m_checker.on_execution_after_drain(id, after);
    }
}

void soak_server::refuse(const exchange_ptr& it, int status) {
    it->response_fields.emplace_back("X-Not-Executed", "1");
    it->respond(status, "");
}

void soak_server::run(const exchange_ptr& it) {
    const auto& request = it->request();
    const std::string id{request["X-Attempt-Id"]};
    m_checker.on_execution({id, false, std::string{request.target()}, request.body(), deadline_of(request)});
    if (request["X-Caller-Service"] != "orders") {
        m_checker.add_violation("unasked", id, "has a different service in X-Caller-Service");
    }
    check_drain(id);
    const std::string target{request.target()};
    if (deadly_tracker::is_deadly(target)) {
        deadly->on_run(target, std::chrono::steady_clock::now());
        crash_later(target);
        return;
    }

    ++m_running;
    const auto work = std::uniform_real_distribution{min_work_ms, max_work_ms}(m_random)*slowness;
    auto timer = std::make_shared<boost::asio::steady_timer>(
        m_context, std::chrono::milliseconds{static_cast<int>(work)});
    it->on_peer_closed = [this, timer] {
        if (timer->cancel() > 0) {
            --m_running;
        }
    };
    timer->async_wait([this, it, timer](boost::system::error_code ec) {
        if (!ec) {
            --m_running;
            finish(it);
        }
    });
}

void soak_server::crash_later(const std::string& target) {
    const auto delay = std::uniform_int_distribution{min_crash_delay_ms, max_crash_delay_ms}(m_random);
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds{delay});
    timer->async_wait([this, timer, target](boost::system::error_code) {
        deadly->on_crash(target, std::chrono::steady_clock::now());
        on_crash();
    });
}

void soak_server::finish(const exchange_ptr& it) {
    const double draw = std::uniform_real_distribution{0.0, 1.0}(m_random);
    if (draw < dropped_response_share) {
        it->abort();
        return;
    }
    const std::string id{it->request()["X-Attempt-Id"]};
    const answer_record answer{200, id, "seal-" + id, "body of " + id};
    if (draw < dropped_response_share + truncated_response_share) {
        it->respond_truncated(answer.body);
        return;
    }
    m_checker.on_server_response(id, answer);
    it->response_fields.emplace_back("X-Response-Seal", answer.seal);
    it->respond(answer.status, answer.body);
}

} // namespace cornelpier::soak
