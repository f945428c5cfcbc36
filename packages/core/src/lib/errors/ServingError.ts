import ModernError, { type InstanceOptions } from 'modern-errors';
import type ErrorKind from './ErrorKind.js';
import type ServingErrorOptions from './ServingErrorOptions.js';

/**
 * Error class of the whole project. Its `kind` is one of the closed list `ErrorKind`.
 *
 * @example
 * return err(new ServingError('no reading for 60 s', { kind: 'target-timeout' }));
 */
const ServingError = ModernError.subclass('ServingError', {
  custom: class extends ModernError {
    readonly kind: ErrorKind;

    readonly retryAfterSeconds: number | undefined;

    constructor(message: string, options?: InstanceOptions & ServingErrorOptions) {
      super(message, options);
      this.kind = options?.kind ?? 'internal';
      this.retryAfterSeconds = options?.retryAfterSeconds;
    }
  },
});
type ServingError = InstanceType<typeof ServingError>;

export default ServingError;
