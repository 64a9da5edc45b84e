#pragma once

namespace cornelpier {

/// Bounds retries to a share of the calls. Independent of time: each call adds a part of a token.
class retry_budget {
  public:
    /// @param share tokens added per call.
    /// @param reserve tokens at the start and the largest number kept.
    retry_budget(double share, double reserve) : m_share(share), m_reserve(reserve), m_tokens(reserve) {}

    /// Notes a call.
    void on_call();

    /// Takes a token for one retry.
    /// @return false if there is none.
    bool take();

    /// @return tokens left.
    [[nodiscard]] double tokens() const { return m_tokens; }

  private:
    double m_share;
    double m_reserve;
    double m_tokens;
};

} // namespace cornelpier
