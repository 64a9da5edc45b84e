#pragma once

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <optional>

namespace cornelpier {

/// Deadline that is often extended and rarely expires. Extending it needs no system call: the timer is armed
/// again only if it fires before the current deadline. Must be used on one strand, by an object that is owned
/// by a shared pointer.
class lazy_deadline {
  public:
    using clock = std::chrono::steady_clock;

    /// @param executor the owner's strand.
    template <typename Executor>
    explicit lazy_deadline(const Executor& executor) : m_timer(executor) {}

    /// Sets or moves the deadline.
    /// @param timeout time from now.
    /// @param owner contains this object and is kept alive while the timer is pending.
    /// @param on_expired called once if the deadline passes without being moved or cleared.
    template <typename Owner>
    void set(clock::duration timeout, const std::shared_ptr<Owner>& owner, void (Owner::*on_expired)()) {
        m_expiry = clock::now() + timeout;
        if (!m_armed || m_timer.expiry() > *m_expiry) {
            arm(owner, on_expired);
        }
    }

    /// Clears the deadline. The timer may still fire, which is then ignored.
    void clear() { m_expiry.reset(); }

    /// Clears the deadline and cancels the timer, which releases the owner.
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
