import { z } from 'zod';
import IDENTIFIER_PATTERN from './IDENTIFIER_PATTERN.js';

/** Identifier of an availability zone. */
const AvailabilityZoneId = z.string().regex(IDENTIFIER_PATTERN).brand<'AvailabilityZoneId'>();
type AvailabilityZoneId = z.infer<typeof AvailabilityZoneId>;

export default AvailabilityZoneId;
