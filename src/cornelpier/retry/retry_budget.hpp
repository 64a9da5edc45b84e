#pragma once

namespace cornelpier {

/// Bounds retries to a share of the calls. Independent of time: each call adds a part of a token.
class retry_budget {
  public:
    /// @param share tokens added per call.
    /// @param start tokens at the start.
    /// @param capacity largest number of tokens kept.
    retry_budget(double share, double start, double capacity)
        : m_share(share), m_capacity(capacity), m_tokens(start) {}

    /// Changes share and capacity; tokens above the new capacity are lost.
    void configure(double share, double capacity);

    /// Notes a call.
    void on_call();

    /// Takes a token for one retry.
    /// @return false if there is none.
    bool take();

    /// @return tokens left.
    [[nodiscard]] double tokens() const { return m_tokens; }

  private:
    double m_share;
    double m_capacity;
    double m_tokens;
};

} // namespace cornelpier
