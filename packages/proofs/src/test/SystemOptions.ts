import type { ServiceDefinition } from '@dandelionlane/core';
import type { VMSettings } from '@dandelionlane/standin';
import type { z } from 'zod';
import type { EntrySettings } from '@dandelionlane/entry';

/** One replica that `TestSystem` places: its VMs in order and what each entry may have in flight. */
interface PlacedReplica {
  readonly replica: string;
  readonly vms: readonly string[];
  /** For every entry, or for each in order of their start; none after the last. */
  readonly cold?: number | readonly number[];
  readonly warm?: number;
}

/** A service with its replicas. */
interface PlacedService {
  readonly definition: z.input<typeof ServiceDefinition>;
  readonly replicas: readonly PlacedReplica[];
}

/** What `TestSystem` starts. */
export default interface SystemOptions {
  readonly vms: readonly z.input<typeof VMSettings>[];
  readonly services: readonly PlacedService[];
  /** Zone of each entry; one entry a zone name. */
  readonly zones: readonly string[];
  readonly limits?: Partial<z.input<typeof EntrySettings>['limits']>;
  readonly timing?: Partial<z.input<typeof EntrySettings>['timing']>;
  /** Whether each entry reaches the platform over a link of its own. */
  readonly linked?: boolean;
  /** Whether the VMs are loaded and serving before the start resolves. Default true. */
  readonly ready?: boolean;
}
