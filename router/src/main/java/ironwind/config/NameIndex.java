package ironwind.config;

import ironwind.model.Customer;
import ironwind.model.Deployment;
import ironwind.model.Method;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the deployment's things are called on the wire. The decision module never sees these names.
 */
public record NameIndex(
        Map<String, Method> methods,
        Map<String, Customer> customers,
        List<String> zones,
        List<String> kinds) {

    static NameIndex read(PropertySource from, Deployment deployment) {
        Map<String, Method> methods = new HashMap<>();
        for (Method method : deployment.methods()) {
            methods.put(from.need("lanes." + method.index() + ".name"), method);
        }
        Map<String, Customer> customers = new HashMap<>();
        for (Customer customer : deployment.customers()) {
            customers.put(from.need("tenants." + customer.index() + ".name"), customer);
        }
        return new NameIndex(methods, customers, from.list("zones"), from.list("kinds"));
    }
}
