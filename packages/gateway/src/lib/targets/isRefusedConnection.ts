const REFUSED_CODE = 'ECONNREFUSED';

/** Whether an attempt ended, with this reason, since nobody listens at the address. */
export default function isRefusedConnection(reason: string): boolean {
  return reason === REFUSED_CODE;
}
