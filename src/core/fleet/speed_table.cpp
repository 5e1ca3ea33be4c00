#include "core/fleet/speed_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleyledge::fleet {

namespace {

constexpr std::size_t steps_kept = 128;
constexpr std::size_t samples_kept = 64;  // of one step
constexpr int fit_rounds = 4;
// What is no longer in the samples counts for so many of them at the most, so
// that a machine that turns slow is noticed after a few tasks.
constexpr double most_before = 3;
// Doubts first samples, which may be of an uncommonly large task.
constexpr double doubt = 0.5;
// A smaller change of the logarithm is not worth a command.
constexpr double noticeable = 0.1;

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
  if (steps_.size() < steps_kept) {
    steps_.push_back({step, {}});
    return steps_.back().samples;
  }
  auto& reused = steps_[next_step_];
  next_step_ = (next_step_ + 1) % steps_kept;
  for (const auto& s : reused.samples) {
    auto& machine = machines_[s.machine];
    auto weight = std::min(machine.before.weight + 1, most_before);
    machine.before = {machine.now.log_speed, weight};
  }
  reused = {step, {}};
  return reused.samples;
}

void speed_table::observe(const step_ref& step, std::string_view machine,
                          double rate) {
  if (!(rate > 0)) return;
  auto& samples = samples_of(step);
  if (samples.size() >= samples_kept) return;
  samples.push_back({index_of(machine), std::log(rate)});
  changed_ = true;
}

auto speed_table::compares(const step_samples& step) const -> bool {
  return std::ranges::any_of(step.samples, [&](const sample& s) {
    return s.machine != step.samples.front().machine;
  });
}

// One round: the size of each step by the speeds so far, then the speeds.
void speed_table::fit_once() {
  std::vector<double> sum(machines_.size());
  std::vector<double> count(machines_.size());
  for (const auto& step : steps_) {
    if (!compares(step)) continue;
    double size = 0;
    for (const auto& s : step.samples) {
      size += machines_[s.machine].now.log_speed - s.log_rate;
    }
    size /= static_cast<double>(step.samples.size());
    for (const auto& s : step.samples) {
      sum[s.machine] += s.log_rate + size;
      count[s.machine] += 1;
    }
  }
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    auto& machine = machines_[i];
    auto weight = machine.before.weight + count[i];
    auto total = machine.before.weight * machine.before.log_speed + sum[i];
    machine.now = {total / (weight + doubt), weight};
  }
}

// Keeps the mean of the known machines at 0, which unknown ones count as.
void speed_table::center() {
  double sum = 0;
  double count = 0;
  for (const auto& machine : machines_) {
    if (machine.now.weight == 0) continue;
    sum += machine.now.log_speed;
    count += 1;
  }
  if (count == 0) return;
  for (auto& machine : machines_) {
    if (machine.now.weight > 0) machine.now.log_speed -= sum / count;
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
  auto& known = machines_[index_of(machine)];
  known.noted = speed;
  if (known.now.weight >= speed.weight) return;
  known.before = {speed.log_speed, std::min(speed.weight, most_before)};
  known.now = speed;
}

auto speed_table::take_changes() -> std::vector<recorded_speed> {
  std::vector<recorded_speed> news;
  for (auto& known : machines_) {
    if (known.now.weight == 0) continue;
    bool fresh = known.noted.weight == 0;
    auto change = std::abs(known.now.log_speed - known.noted.log_speed);
    if (!fresh && change < noticeable) continue;
    known.noted = known.now;
    news.push_back({known.name, known.now});
  }
  return news;
}

auto speed_table::compared_count() const -> std::size_t {
  return static_cast<std::size_t>(std::ranges::count_if(
      machines_, [](const entry& one) { return one.now.weight > 0; }));
}

auto speed_table::learned(std::string_view machine) const -> machine_speed {
  auto it = index_.find(machine);
  return it == index_.end() ? machine_speed{} : machines_[it->second].now;
}

}  // namespace parsleyledge::fleet
