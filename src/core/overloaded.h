#pragma once

namespace parsleyledge {

/// Combines several lambdas into one visitor of a variant.
template <typename... Fs>
struct overloaded : Fs... {
  using Fs::operator()...;
};

template <typename... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

}  // namespace parsleyledge
