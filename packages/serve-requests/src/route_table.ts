/** Finds the route of a request. */
import {type ServiceRoute} from '@mimosatack/types';

/** The routes of one configuration, by host. */
export class RouteTable {
  /** Of each host, the longest prefix first. */
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

  /** The route with the longest prefix that begins the path. */
  find(host: string, path: string): ServiceRoute | undefined {
    const pathOnly = path.split('?', 1)[0] ?? '';
    return this.byHost
      .get(normalizeHost(host))
      ?.find(route => pathOnly.startsWith(route.pathPrefix));
  }
}

/** Host names are compared without case and without a port. */
function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d*$/, '');
}
