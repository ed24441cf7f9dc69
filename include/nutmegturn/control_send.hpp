#pragma once

#include "nutmegturn/endpoint.hpp"

#include <control_types.h>

namespace nutmegturn
{
	/// Control message to send.
	struct control_send
	{
		endpoint destination;
		wire::control_envelope envelope;
	};
}
