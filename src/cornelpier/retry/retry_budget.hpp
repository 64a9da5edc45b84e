#pragma once

namespace cornelpier {

/// Limits retries to a ratio of the calls. Independent of time: each call adds a fraction of a token.
class retry_budget {
  public:
    /// @param ratio tokens added per call.
    /// @param initial_tokens tokens at the start.
    /// @param capacity maximum number of tokens.
    retry_budget(double ratio, double initial_tokens, double capacity)
        : m_ratio(ratio), m_capacity(capacity), m_tokens(initial_tokens) {}

    /// Changes ratio and capacity; tokens above the new capacity are lost.
    void configure(double ratio, double capacity);

    /// Records a call.
    void on_call();

    /// Takes a token for one retry.
    /// @return false if no token is left.
    bool try_take();

    /// @return tokens left.
    [[nodiscard]] double tokens() const { return m_tokens; }

  private:
    double m_ratio;
    double m_capacity;
    double m_tokens;
};

} // namespace cornelpier
