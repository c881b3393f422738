export {
  type AvailabilityReport,
  availabilityReportSchema,
} from './availability_messages.js';
export {
  type AvailabilityFacts,
  ServerAvailability,
  type ServerAvailabilityOptions,
  type ServerIncarnation,
} from './server_availability.js';
