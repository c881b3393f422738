export {
  type AvailabilityFacts,
  ServerAvailability,
  type ServerAvailabilityOptions,
} from './server_availability.js';
