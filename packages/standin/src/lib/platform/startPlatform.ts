import {
  type Clock, parseWith, type ServingError, SystemClock,
} from '@dandelionlane/core';
import type { ResultAsync } from 'neverthrow';
import type { z } from 'zod';
import createPlatformApp from './createPlatformApp.js';
import type PlatformHandle from './PlatformHandle.js';
import PlatformSettings from './PlatformSettings.js';
import startServer from '../server/startServer.js';

/**
 * Starts the platform stand-in in this process. Errors: `settings-invalid`, or
 * `internal` when the port cannot be bound.
 *
 * @example
 * const started = await startPlatform({ port: 0 });
 * started.map(({ address }) => console.log(address));
 */
export default function startPlatform(
  settings: z.input<typeof PlatformSettings>,
  clock: Clock = new SystemClock(),
): ResultAsync<PlatformHandle, ServingError> {
  return parseWith(PlatformSettings, settings, 'settings-invalid')
    .asyncAndThen((checked) => startServer(createPlatformApp(checked, clock), checked.host, checked.port));
}
