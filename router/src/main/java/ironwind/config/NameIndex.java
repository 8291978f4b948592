package ironwind.config;

import ironwind.model.Customer;
import ironwind.model.Deployment;
import ironwind.model.Method;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Resolves external names to the objects and numbers that the decision logic works with; the logic
 * never sees the names.
 *
 * @param methods methods by name
 * @param customers customers by name
 * @param zones zone names; a zone's number is its position in the list
 * @param kinds names of host kinds; a kind's number is its position in the list
 */
public record NameIndex(
        Map<String, Method> methods,
        Map<String, Customer> customers,
        List<String> zones,
        List<String> kinds) {

    static NameIndex read(PropertySource settings, Deployment deployment) {
        Map<String, Method> methods = new HashMap<>();
        for (Method method : deployment.methods()) {
            methods.put(settings.requireString("lanes." + method.index() + ".name"), method);
        }
        Map<String, Customer> customers = new HashMap<>();
        for (Customer customer : deployment.customers()) {
            customers.put(
                    settings.requireString("tenants." + customer.index() + ".name"), customer);
        }
        return new NameIndex(
                methods, customers, settings.getList("zones"), settings.getList("kinds"));
    }
}
