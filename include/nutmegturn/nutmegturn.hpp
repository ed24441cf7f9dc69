#pragma once

/// \file
/// Includes the whole public interface.

#include "nutmegturn/action.hpp"
#include "nutmegturn/deployment.hpp"
#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/error.hpp"
#include "nutmegturn/flow_key.hpp"
#include "nutmegturn/forward.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/member.hpp"
#include "nutmegturn/packet.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/reason.hpp"
#include "nutmegturn/time.hpp"
