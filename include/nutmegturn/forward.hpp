#pragma once

/// \file
/// Forward declarations of the public types that other headers name before they need the definition.

namespace nutmegturn
{
	struct address;
	struct deployment;
	struct endpoint;
	struct flow_key;
	struct packet;
	struct packet_header;
	struct service_config;
	struct upstream_config;
	struct zone_config;
}
