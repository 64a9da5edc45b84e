#pragma once

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <optional>

namespace cornelpier {

/// Time limit that is moved often and fires rarely. Moving it later costs no system call, because the timer
/// is set again only when it fires before the current limit. Used on one strand by an object that is owned by
/// a shared pointer.
class lazy_deadline {
  public:
    using clock = std::chrono::steady_clock;

    /// @param executor strand of the owner.
    template <typename Executor>
    explicit lazy_deadline(const Executor& executor) : m_timer(executor) {}

    /// @param timeout length from now.
    /// @param owner keeps the object that contains this one alive while the timer runs.
    /// @param on_expired called once when the limit passes without being moved.
    template <typename Owner>
    void set(clock::duration timeout, const std::shared_ptr<Owner>& owner, void (Owner::*on_expired)()) {
        m_expiry = clock::now() + timeout;
        if (!m_armed || m_timer.expiry() > *m_expiry) {
            arm(owner, on_expired);
        }
    }

    /// Lifts the limit. The timer may still fire and is then ignored.
    void clear() { m_expiry.reset(); }

    /// Lifts the limit and releases the owner.
    void stop() {
        m_expiry.reset();
        m_armed = false;
        m_timer.cancel();
    }

  private:
    template <typename Owner>
    void arm(const std::shared_ptr<Owner>& owner, void (Owner::*on_expired)()) {
        m_armed = true;
        m_timer.expires_at(*m_expiry);
        m_timer.async_wait([this, owner, on_expired](boost::system::error_code ec) {
            if (ec) {
                return;
            }
            m_armed = false;
            if (!m_expiry) {
                return;
            }
            if (clock::now() < *m_expiry) {
                arm(owner, on_expired);
                return;
            }
            m_expiry.reset();
            ((*owner).*on_expired)();
        });
    }

    boost::asio::steady_timer m_timer;
    std::optional<clock::time_point> m_expiry;
    bool m_armed = false;
};

} // namespace cornelpier
