/** Lookups in one configuration revision. */
import type {
  Configuration, Customer, EngineEndpoint, Model, PlainEndpoint, Profile, Service, Store
} from './configuration.js'

/** Immutable index of a configuration, built once per revision. */
export class ConfigurationIndex {
  readonly profiles = new Map<string, Profile>()
  readonly services = new Map<string, Service>()
  readonly customers = new Map<string, Customer>()
  readonly models = new Map<string, Model>()
  readonly engines = new Map<string, EngineEndpoint>()
  readonly plainEndpoints = new Map<string, PlainEndpoint>()
  readonly stores = new Map<string, Store>()
  readonly #customersByCredential = new Map<string, Customer>()

  /**
   * @param revision - revision of the configuration
   * @param configuration - documents whose references have been checked
   */
  constructor (readonly revision: number, readonly configuration: Configuration) {
    for (const document of configuration.documents) {
      switch (document.kind) {
        case 'profile': this.profiles.set(document.name, document); break
        case 'service': this.services.set(document.name, document); break
        case 'customer':
          this.customers.set(document.name, document)
          this.#customersByCredential.set(document.credentialSha256, document)
          break
        case 'model': this.models.set(document.name, document); break
        case 'store': this.stores.set(document.name, document); break
        case 'endpoint':
          if (document.type === 'engine') this.engines.set(document.name, document)
          else this.plainEndpoints.set(document.name, document)
          break
      }
    }
  }

  /**
   * Finds the customer a credential belongs to.
   *
   * @param credentialSha256 - SHA-256 of the credential, in hex
   * @returns the customer, or undefined for an unknown credential
   */
  customerByCredential (credentialSha256: string): Customer | undefined {
    return this.#customersByCredential.get(credentialSha256)
  }

  /**
   * @param model - model name
   * @returns the engines configured for it
   */
  enginesOf (model: string): EngineEndpoint[] {
    return [...this.engines.values()].filter(engine => engine.model === model)
  }

  /**
   * @param service - plain service name
   * @returns the endpoints configured for it
   */
  endpointsOf (service: string): PlainEndpoint[] {
    return [...this.plainEndpoints.values()].filter(endpoint => endpoint.service === service)
  }
}
