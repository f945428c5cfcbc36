import { z } from 'zod';
import IDENTIFIER_PATTERN from './IDENTIFIER_PATTERN.js';

/** Identifier of a service. */
const ServiceId = z.string().regex(IDENTIFIER_PATTERN).brand<'ServiceId'>();
type ServiceId = z.infer<typeof ServiceId>;

export default ServiceId;
