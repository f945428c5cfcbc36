import type { RandomSource, ServiceId } from '@dandelionlane/core';
import type { Route } from '@dandelionlane/fleet';

/** One of the route's services, by weight; null when the route has none. */
export default function pickService({ services }: Route, random: RandomSource): ServiceId | null {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let mark = random.next() * total;
  const picked = services.find(({ weight }) => {
    mark -= weight;
    return mark < 0;
  });
  return (picked ?? services.at(-1))?.service ?? null;
}
