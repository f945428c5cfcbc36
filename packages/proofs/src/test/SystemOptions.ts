import type { VMSettings } from '@dandelionlane/standin';
import type { z } from 'zod';
import type { EntrySettings } from '@dandelionlane/entry';
import type PlacedService from './PlacedService.js';

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
