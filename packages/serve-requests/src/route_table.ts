/** Finds the route of a request by host and path. */
import {type ServiceRoute} from '@mimosatack/types';

export class RouteTable {
  /** The routes of each host, longest prefix first. */
  private readonly byHost = new Map<string, ServiceRoute[]>();

  constructor(routes: readonly ServiceRoute[]) {
    routes.forEach(route => {
      const key = normalizeHost(route.host);
      const known = this.byHost.get(key);
      if (known) known.push(route);
      else this.byHost.set(key, [route]);
    });
    this.byHost.forEach(list =>
      list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
    );
  }

  /** Returns the route with the longest matching path prefix. */
  find(host: string, path: string): ServiceRoute | undefined {
    const pathOnly = path.split('?', 1)[0] ?? '';
    return this.byHost
      .get(normalizeHost(host))
      ?.find(route => pathOnly.startsWith(route.pathPrefix));
  }
}

/** Host names match without regard to case and port. */
function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d*$/, '');
}
