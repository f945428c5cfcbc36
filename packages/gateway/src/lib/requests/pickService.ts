import type { RandomSource, ServiceId } from '@dandelionlane/core';
import type { Route } from '@dandelionlane/fleet';

/** Picks one of the route's services at random, by weight; null when the route has none. */
export default function pickService({ services }: Route, random: RandomSource): ServiceId | null {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = random.next() * total;
  const picked = services.find(({ weight }) => {
    remainingWeight -= weight;
    return remainingWeight < 0;
  });
  return (picked ?? services.at(-1))?.service ?? null;
}
