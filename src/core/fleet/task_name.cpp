#include "core/fleet/task_name.h"

#include <string_view>

namespace parsleyledge::fleet {

auto to_string(job_id id) -> std::string {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text(16, '0');
  auto value = id.value;
  for (auto i = text.size(); i-- > 0; value >>= 4) text[i] = digits[value & 15];
  return text;
}

auto to_string(const step_ref& step) -> std::string {
  return to_string(step.job) + '.' + std::to_string(step.occurrence) + '.' +
         std::to_string(step.step);
}

auto to_string(const task_ref& task) -> std::string {
  return to_string(step_ref{task.job, task.occurrence, task.step}) + '.' +
         std::to_string(task.index);
}

}  // namespace parsleyledge::fleet
