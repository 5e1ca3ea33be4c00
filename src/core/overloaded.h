#pragma once

namespace parsleyledge {

/// Builds one visitor of a variant from several lambdas.
template <typename... Fs>
struct overloaded : Fs... {
  using Fs::operator()...;
};

template <typename... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

}  // namespace parsleyledge
