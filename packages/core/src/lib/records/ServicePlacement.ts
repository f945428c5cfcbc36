import { z } from 'zod';
import ServiceId from '../ids/ServiceId.js';
import Replica from './Replica.js';

/** Placement row of one service in one region: all of its replicas there. */
const ServicePlacement = z.object({
  service: ServiceId,
  replicas: z.array(Replica),
});
type ServicePlacement = z.infer<typeof ServicePlacement>;

export default ServicePlacement;
