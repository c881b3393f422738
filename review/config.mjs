// Configurations as the operator writes them to `op/config`.
export const HOST = 'lists.example';

export function route(name, path_prefix, service, rest) {
  return {
    ...{name, host: HOST, path_prefix, service, priority: 2},
    ...{timeout_ms: 800, target_latency_ms: 121, max_attempts: 1},
    ...rest,
  };
}

export function plainService(name) {
  return {name, health_path: '/health', max_conns: 110};
}

export function configuration(version, routes, services, rest = {}) {
  return {
    ...{version, routes, services},
    limits: {
      ...{max_header_bytes: 16384, max_body_bytes: 1048576},
      ...{header_timeout_ms: 5000, idle_timeout_ms: 15000},
    },
    ...rest,
  };
}
