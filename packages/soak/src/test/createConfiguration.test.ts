import { expect, test } from 'vitest';
import createConfiguration from '../lib/createConfiguration.js';

const versions = Array.from({ length: 13 }, (_, index) => createConfiguration(index + 1, 2));

test('versions change idle time, timeouts and services in turn', () => {
  const changed = versions.slice(1).map(({ limits, routes }, index) => {
    const former = versions[index];
    return [
      limits.idleTimeoutMilliseconds !== former?.limits.idleTimeoutMilliseconds,
      routes.some((route, at) => route.timeoutMilliseconds !== former?.routes[at]?.timeoutMilliseconds),
      routes.some(({ services }, at) => (
        JSON.stringify(services) !== JSON.stringify(former?.routes[at]?.services)
      )),
    ].map(Number).join('');
  });
  expect(changed).toEqual(Array.from({ length: 4 }, () => ['100', '010', '001']).flat());
});

test('all versions allow all requests, for as long as their deadlines', () => {
  versions.forEach(({ routes, teams, services }) => {
    expect(routes.map(({ prefix }) => prefix)).toEqual(['/safe/', '/once/', '/stream/']);
    const timeouts = routes.map(({ timeoutMilliseconds }) => timeoutMilliseconds);
    expect(timeouts.every((timeout, index) => timeout >= (index === 2 ? 4_000 : 1_500))).toBe(true);
    routes.flatMap((route) => route.services).forEach(({ service }) => {
      expect(services.has(service)).toBe(true);
    });
    expect(teams).toEqual(versions[0]?.teams);
  });
});
