import { ReleaseSequence, RowVersion } from '@dandelionlane/core';
import { z } from 'zod';

/** The head row: the latest accepted sequence and the version that a publication is conditioned on. */
const ReleaseHead = z.object({ sequence: ReleaseSequence, version: RowVersion });
type ReleaseHead = z.infer<typeof ReleaseHead>;

export default ReleaseHead;
