import type { ReleaseState } from '@dandelionlane/core';
import type SnapshotPart from './SnapshotPart.js';

/** Keeps a part near 70 kB of JSON for services of typical size. */
const SERVICES_PER_PART = 200;

const WITHDRAWN_PER_PART = 1_000;

/** Splits the state's long lists into parts. Equal states give equal parts. */
export default function splitState({ services, withdrawn }: ReleaseState): readonly SnapshotPart[] {
  const count = Math.max(
    Math.ceil(services.length / SERVICES_PER_PART),
    Math.ceil(withdrawn.length / WITHDRAWN_PER_PART),
  );
  return Array.from({ length: count }, (_, index) => ({
    services: services.slice(index * SERVICES_PER_PART, (index + 1) * SERVICES_PER_PART),
    withdrawn: withdrawn.slice(index * WITHDRAWN_PER_PART, (index + 1) * WITHDRAWN_PER_PART),
  }));
}
