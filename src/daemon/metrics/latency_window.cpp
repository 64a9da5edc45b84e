#include "daemon/metrics/latency_window.hpp"

#include <boost/histogram.hpp>

#include <array>
#include <cmath>
#include <optional>

namespace cornelpier {

namespace {

namespace hist = boost::histogram;

constexpr duration slice_length = std::chrono::seconds{10};
constexpr std::size_t slice_count = 6;

// 20 buckets per decade from 100 µs to 100 s; adjacent edges differ by 12%.
constexpr unsigned bucket_count = 120;
constexpr double lowest_seconds = 1e-4;
constexpr double highest_seconds = 100;

using latency_axis = hist::axis::regular<double, hist::axis::transform::log>;

auto make_latency_histogram() {
    return hist::make_histogram(latency_axis{bucket_count, lowest_seconds, highest_seconds, "seconds"});
}

using latency_histogram = decltype(make_latency_histogram());

duration quantile(const latency_histogram& histogram, double fraction) {
    const double total = hist::algorithm::sum(histogram);
    if (total <= 0) {
        return duration::zero();
    }

    double cumulative = 0;
    for (auto&& cell : hist::indexed(histogram, hist::coverage::all)) {
        cumulative += *cell;
        if (cumulative >= fraction * total) {
            const double edge = cell.bin(0).upper();
            return from_seconds(std::isfinite(edge) ? edge : highest_seconds);
        }
    }
    return from_seconds(highest_seconds);
}

} // namespace

struct latency_window::slice {
    std::int64_t index = -1; ///< Slices since the epoch of the clock; -1 if unused.
    std::array<std::uint64_t, 3> verdict_counts{};
    latency_histogram latencies = make_latency_histogram();
};

/// Ring buffer of slices.
class latency_window::implementation {
  public:
    slice& slice_for(time_point now) {
        const std::int64_t index = now.time_since_epoch() / slice_length;
        slice& current = m_slices.at(static_cast<std::size_t>(index) % slice_count);
        if (current.index != index) {
            current.index = index;
            current.verdict_counts = {};
            current.latencies.reset();
        }
        return current;
    }

    [[nodiscard]] summary summarize(time_point now) const {
        const std::int64_t newest = now.time_since_epoch() / slice_length;
        latency_histogram all = make_latency_histogram();
        std::array<std::uint64_t, 3> verdict_counts{};
        for (const auto& it : m_slices) {
            if (it.index < 0 || it.index + static_cast<std::int64_t>(slice_count) <= newest) {
                continue;
            }
            all += it.latencies;
            for (std::size_t n = 0; n < verdict_counts.size(); ++n) {
                verdict_counts.at(n) += it.verdict_counts.at(n);
            }
        }
        constexpr double median = 0.5;
        constexpr double p99 = 0.99;
        return {verdict_counts[0], verdict_counts[1], verdict_counts[2], quantile(all, median),
                quantile(all, p99)};
    }

  private:
    std::array<slice, slice_count> m_slices;
};

latency_window::latency_window() : m_implementation(std::make_unique<implementation>()) {}

latency_window::~latency_window() = default;
latency_window::latency_window(latency_window&&) noexcept = default;
latency_window& latency_window::operator=(latency_window&&) noexcept = default;

void latency_window::add(verdict outcome, duration latency, time_point now) {
    slice& current = m_implementation->slice_for(now);
    ++current.verdict_counts.at(static_cast<std::size_t>(outcome));
    current.latencies(to_seconds(latency));
}

latency_window::summary latency_window::last_minute(time_point now) const {
    return m_implementation->summarize(now);
}

} // namespace cornelpier
