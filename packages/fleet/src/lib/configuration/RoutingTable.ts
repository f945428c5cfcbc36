import type { ServiceId } from '@dandelionlane/core';
import type FleetConfiguration from './FleetConfiguration.js';
import type Route from './Route.js';
import type RouteMatch from './RouteMatch.js';
import type Team from './Team.js';

/** Index of the routes and teams of one configuration. */
export default class RoutingTable {
  readonly configuration: FleetConfiguration;

  /** Routes of each host, longest prefix first. */
  readonly #routesByHost = new Map<string, Route[]>();

  readonly #teamsByKey = new Map<string, Team>();

  /** Priorities that requests of each service may have. */
  readonly #priorities = new Map<ServiceId, Set<number>>();

  constructor(configuration: FleetConfiguration) {
    this.configuration = configuration;
    configuration.routes.forEach((route) => {
      const routes = this.#routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.#routesByHost.set(route.host, routes);
    });
    this.#routesByHost.forEach((routes) => {
      routes.sort((left, right) => right.prefix.length - left.prefix.length);
    });
    configuration.teams.forEach((team) => {
      team.apiKeys.forEach((key) => this.#teamsByKey.set(key, team));
    });
    this.#indexPriorities();
  }

  /** Whether any team is configured, so that requests carry API keys. */
  get hasTeams(): boolean {
    return this.configuration.teams.length > 0;
  }

  /** Finds the route with the longest prefix of the path. A port in the host is ignored. */
  match(host: string, path: string): RouteMatch {
    const name = host.toLowerCase().split(':')[0] ?? '';
    const route = this.#routesByHost.get(name)?.find(({ prefix }) => path.startsWith(prefix));
    return route === undefined ? { kind: 'unknown' } : { kind: 'matched', route };
  }

  /** Team that owns an API key. */
  teamOf(apiKey: string): Team | undefined {
    return this.#teamsByKey.get(apiKey);
  }

  /** Whether requests of a service differ in priority, by their routes or teams. */
  ranksRequests(service: ServiceId): boolean {
    return (this.#priorities.get(service)?.size ?? 0) > 1;
  }

  #indexPriorities(): void {
    const { routes, teams } = this.configuration;
    const ofTeams = new Set(teams.map(({ priority }) => priority));
    routes.forEach(({ services, priority, anonymous }) => {
      const ofRoute = ofTeams.size === 0 || anonymous ? new Set([null, ...ofTeams]) : ofTeams;
      services.forEach(({ service }) => {
        const known = this.#priorities.get(service) ?? new Set();
        ofRoute.forEach((ofTeam) => known.add(ofTeam ?? priority));
        this.#priorities.set(service, known);
      });
    });
  }
}
