import { ReleaseState } from '@dandelionlane/core';
import type { z } from 'zod';

/** One slice of the state's long lists. Parts in sequence restore the lists in order. */
const SnapshotPart = ReleaseState.pick({ services: true, withdrawn: true });
type SnapshotPart = z.infer<typeof SnapshotPart>;

export default SnapshotPart;
