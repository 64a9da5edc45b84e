#include "daemon/log/event_log.hpp"

#include "daemon/log/event_rate_limiter.hpp"
#include "daemon/net/clock.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <iostream>
#include <mutex>

namespace cornelpier {

namespace {

namespace logging = boost::log;

constexpr std::size_t max_queued_lines = 4096;

using line_queue = logging::sinks::bounded_fifo_queue<max_queued_lines, logging::sinks::drop_on_overflow>;
using line_sink = logging::sinks::asynchronous_sink<logging::sinks::text_ostream_backend, line_queue>;

} // namespace

/// Owns the Boost.Log sink and assigns the sequence numbers.
class event_log::implementation {
  public:
    explicit implementation(const log_options& options)
        : m_level(options.level), m_formatter(options.format, options.node, options.process),
          m_clock(options.clock), m_recent(options.recent) {
        const auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
        backend->auto_flush(true);
        m_sink = boost::make_shared<line_sink>(backend);
        logging::core::get()->add_sink(m_sink);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    ~implementation() {
        logging::core::get()->remove_sink(m_sink);
        m_sink->stop();
        m_sink->flush();
    }

    void write(const event_record& record) {
        if (describe(record.number).level < m_level) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        const time_point now = monotonic_now();
        if (const auto suppressed = m_limiter.admit(record.number, now)) {
            enqueue(record, *suppressed, now);
        }
    }

    void write_suppressed_counts() {
        const std::lock_guard lock(m_mutex);
        const time_point now = monotonic_now();
        for (const auto& it : m_limiter.take_suppressed(now)) {
            enqueue({it.number, {}}, it.count, now);
        }
    }

  private:
    void enqueue(const event_record& record, std::uint64_t suppressed, time_point now) {
        const auto wall = std::chrono::system_clock::now();
        const auto stamp = m_clock->next();
        const std::string line = m_formatter.format({wall, now, stamp, ++m_sequence, suppressed, record});
        BOOST_LOG(m_logger) << line;
        if (m_recent != nullptr) {
            m_recent->add(line);
        }
    }

    severity m_level;
    event_formatter m_formatter;
    std::mutex m_mutex;
    event_rate_limiter m_limiter;
    std::shared_ptr<event_clock> m_clock;
    std::shared_ptr<recent_lines> m_recent;
    std::uint64_t m_sequence = 0;
    boost::shared_ptr<line_sink> m_sink;
    logging::sources::logger m_logger;
};

event_log::event_log(const log_options& options)
    : m_implementation(std::make_unique<implementation>(options)) {}

event_log::~event_log() = default;

void event_log::write(const event_record& record) {
    m_implementation->write(record);
}

void event_log::write_suppressed_counts() {
    m_implementation->write_suppressed_counts();
}

} // namespace cornelpier
