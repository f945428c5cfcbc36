import type { Clock } from '@dandelionlane/core';
import type { Dispatcher } from 'undici';
import type VMSettings from '../vms/VMSettings.js';
import type VMsSettings from '../vms/VMsSettings.js';

/** What a VM stand-in is built from. */
export default interface EngineParts {
  readonly vm: VMSettings;
  readonly common: VMsSettings;
  readonly clock: Clock;
  /** Connections to other members and to the platform. */
  readonly dispatcher: Dispatcher;
}
