#include "core/fleet/speed_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleyledge::fleet {

namespace {

constexpr std::size_t max_steps = 128;
constexpr std::size_t max_samples_per_step = 64;
constexpr int fit_rounds = 4;
// Limits the weight, in samples, of the estimate from discarded samples, so
// that a machine that becomes slow is recognized after a few tasks.
constexpr double max_prior_weight = 3;
// Pulls the estimate of a machine with few samples towards the mean, since a
// first sample may be of an unusually large task. In samples.
constexpr double shrinkage_weight = 0.5;
// A smaller change of the logarithm is not replicated.
constexpr double min_recorded_change = 0.1;

}  // namespace

auto speed_table::index_of(std::string_view machine) -> std::size_t {
  auto it = index_.find(machine);
  if (it != index_.end()) return it->second;
  index_.emplace(machine, machines_.size());
  machines_.push_back({std::string(machine), {}, {}, {}});
  return machines_.size() - 1;
}

auto speed_table::samples_of(const step_ref& step) -> std::vector<sample>& {
  auto it = std::ranges::find(steps_, step, &step_samples::step);
  if (it != steps_.end()) return it->samples;
  if (steps_.size() < max_steps) {
    steps_.push_back({step, {}});
    return steps_.back().samples;
  }
  auto& reused = steps_[next_step_];
  next_step_ = (next_step_ + 1) % max_steps;
  for (const auto& s : reused.samples) {
    auto& machine = machines_[s.machine];
    auto weight = std::min(machine.prior.weight + 1, max_prior_weight);
    machine.prior = {machine.current.log_speed, weight};
  }
  reused = {step, {}};
  return reused.samples;
}

void speed_table::observe(const step_ref& step, std::string_view machine,
                          double rate) {
  if (!(rate > 0)) return;
  auto& samples = samples_of(step);
  if (samples.size() >= max_samples_per_step) return;
  samples.push_back({index_of(machine), std::log(rate)});
  changed_ = true;
}

auto speed_table::spans_machines(const step_samples& step) const -> bool {
  return std::ranges::any_of(step.samples, [&](const sample& s) {
    return s.machine != step.samples.front().machine;
  });
}

// One round of the fit: estimates the size of each step from the current
// speeds, then the speeds from the sizes.
void speed_table::fit_once() {
  std::vector<double> sum(machines_.size());
  std::vector<double> count(machines_.size());
  for (const auto& step : steps_) {
    if (!spans_machines(step)) continue;
    double size = 0;
    for (const auto& s : step.samples) {
      size += machines_[s.machine].current.log_speed - s.log_rate;
    }
    size /= static_cast<double>(step.samples.size());
    for (const auto& s : step.samples) {
      sum[s.machine] += s.log_rate + size;
      count[s.machine] += 1;
    }
  }
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    auto& machine = machines_[i];
    auto weight = machine.prior.weight + count[i];
    auto total = machine.prior.weight * machine.prior.log_speed + sum[i];
    machine.current = {total / (weight + shrinkage_weight), weight};
  }
}

// Shifts the logarithms so that the mean of the measured machines is 0, the
// value assumed for machines not yet measured.
void speed_table::center() {
  double sum = 0;
  double count = 0;
  for (const auto& machine : machines_) {
    if (machine.current.weight == 0) continue;
    sum += machine.current.log_speed;
    count += 1;
  }
  if (count == 0) return;
  for (auto& machine : machines_) {
    if (machine.current.weight > 0) machine.current.log_speed -= sum / count;
  }
}

void speed_table::update() {
  if (!std::exchange(changed_, false)) return;
  for (int i = 0; i < fit_rounds; ++i) fit_once();
  center();
}

auto speed_table::speed(std::string_view machine) const -> double {
  return std::exp(learned(machine).log_speed);
}

void speed_table::restore(std::string_view machine,
                          const machine_speed& speed) {
  auto& machine_entry = machines_[index_of(machine)];
  machine_entry.recorded = speed;
  if (machine_entry.current.weight >= speed.weight) return;
  machine_entry.prior = {speed.log_speed,
                         std::min(speed.weight, max_prior_weight)};
  machine_entry.current = speed;
}

auto speed_table::take_changes() -> std::vector<recorded_speed> {
  std::vector<recorded_speed> changes;
  for (auto& machine_entry : machines_) {
    if (machine_entry.current.weight == 0) continue;
    bool is_new = machine_entry.recorded.weight == 0;
    auto change = std::abs(machine_entry.current.log_speed -
                           machine_entry.recorded.log_speed);
    if (!is_new && change < min_recorded_change) continue;
    machine_entry.recorded = machine_entry.current;
    changes.push_back({machine_entry.name, machine_entry.current});
  }
  return changes;
}

auto speed_table::compared_count() const -> std::size_t {
  return static_cast<std::size_t>(std::ranges::count_if(
      machines_,
      [](const entry& machine) { return machine.current.weight > 0; }));
}

auto speed_table::learned(std::string_view machine) const -> machine_speed {
  auto it = index_.find(machine);
  return it == index_.end() ? machine_speed{} : machines_[it->second].current;
}

}  // namespace parsleyledge::fleet
