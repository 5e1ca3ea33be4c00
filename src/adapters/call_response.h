#pragma once

#include "wire.pb.h"

namespace parsleyledge {

/// The leader's reply to a call.
struct call_response {
  wire::call_reply reply;
  // An earlier attempt of the call had no response, so it may have been
  // executed whatever the reply says.
  bool may_have_run = false;
};

}  // namespace parsleyledge
