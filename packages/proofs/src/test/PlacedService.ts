import type { z } from 'zod';
import type { ServiceDefinition } from '@dandelionlane/core';

/** One replica that `TestSystem` places: its VMs in order and what each entry may have in flight. */
interface PlacedReplica {
  readonly replica: string;
  readonly vms: readonly string[];
  /** For every entry, or for each in order of their start; none after the last. */
  readonly cold?: number | readonly number[];
  readonly warm?: number;
}

/** A service with its replicas. */
export default interface PlacedService {
  readonly definition: z.input<typeof ServiceDefinition>;
  readonly replicas: readonly PlacedReplica[];
}
