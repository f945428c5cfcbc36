import { ReleaseState } from '@dandelionlane/core';
import type { z } from 'zod';

/** Slices of the state's long lists, in order. */
const SnapshotPart = ReleaseState.pick({ services: true, withdrawn: true });
type SnapshotPart = z.infer<typeof SnapshotPart>;

export default SnapshotPart;
